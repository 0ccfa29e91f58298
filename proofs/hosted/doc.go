// Package hosted tests the request path on the users' platform. The tests start real ingress
// processes with stand-ins for the platform's store and backend servers, inject faults, and check
// what callers and backend servers observe.
package hosted
