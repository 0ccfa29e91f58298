// Package proofs holds the process tests, which run the real programs together with stand-ins of
// their environment and inject failures.
package proofs
