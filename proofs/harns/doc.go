// Package harns holds tests that start the real programs and the stand-ins on
// loopback, break processes and connections, and check what the callers and
// the ledgers of the stand-ins saw. All of its code is in test files, since
// only tests may start processes.
package harns
