// Package swkey makes non-idempotent work run at most once. It issues keys, runs work under them only at the VM that
// issued them, passes resends on to that VM, keeps outcomes, hands keys over to a successor on a graceful stop, and maps
// keys of callers' own to issued ones by claims at the platform.
package swkey
