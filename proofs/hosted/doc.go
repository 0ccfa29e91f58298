// Package hosted proves the path on the users' platform: it starts real ingress
// processes between stand-ins of the platform's store and backend servers and
// checks what callers and backend servers see, under faults.
package hosted
