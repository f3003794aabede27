#!/bin/sh
# Puts what the roles need under target/deps: the libraries, and a compiled copy of the product.
# Does nothing where nothing has changed, so that builds beside each other do no harm.
set -eu
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
sources=$(find src/quaymill -type f -name '*.py' | LC_ALL=C sort | xargs cksum | cksum)
if [ "$(cat target/deps/.sources 2>/dev/null || true)" != "$sources" ]; then
    rm -rf target/deps/quaymill
    cp -R src/quaymill target/deps/quaymill
    python3 -m compileall -q target/deps
    echo "$sources" > target/deps/.sources
fi
