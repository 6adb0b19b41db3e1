#!/bin/sh
# Installs the daemon and its dependencies under target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-compile \
        --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.installed
fi
for package in core entry; do
    rm -rf "target/deps/fuchsiaspread_$package"
    cp -R "packages/$package/src/fuchsiaspread_$package" target/deps/
done
rm -rf target/deps/fuchsiaspread_platform
cp -R platform/src/fuchsiaspread_platform target/deps/
find target/deps -name __pycache__ -prune -exec rm -rf {} +
# Precompile, since the daemon cannot write bytecode to the read-only files and would start slower.
python3 -m compileall -q target/deps
