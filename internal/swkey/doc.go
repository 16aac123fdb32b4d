// Package swkey makes non-idempotent work run at most once. It issues idempotency keys and runs work under a key only at
// the VM that holds the issuer's key table: the issuer, or the successor that took the table over when the issuer stopped
// gracefully. Other VMs forward requests to the holder, which keeps outcomes for repeats. Keys that callers choose
// themselves are mapped to issued keys by claims, which are objects stored at the platform.
package swkey
