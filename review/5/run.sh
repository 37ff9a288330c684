#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=target/deps exec python3 review/5/case.py
