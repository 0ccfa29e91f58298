// Package proofs holds the process tests: real programs and stand-ins under failure.
package proofs
