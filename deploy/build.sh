#!/bin/sh
# Puts what the roles need under target/deps: the libraries, and a compiled copy of the product.
set -eu
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/quaymill
cp -R src/quaymill target/deps/quaymill
python3 -m compileall -q target/deps
