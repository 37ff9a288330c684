"""Storage on disk: two slots written alternately and a short log between (docs/storage-format.md)."""
