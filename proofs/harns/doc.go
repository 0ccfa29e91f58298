// Package harns holds tests that run the real programs against fakes of the platform and of the
// backend servers, on loopback. The tests inject failures into processes and connections, and check
// the answers that callers receive against the ledgers in which the fakes record every run.
//
// All code is in test files, because only tests may start processes.
package harns
