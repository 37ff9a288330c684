"""The tier's disks: two slots written in turn, with a short log between (docs/storage-format.md)."""
