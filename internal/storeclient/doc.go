// Package storeclient guards the calls of the platform's key-value service: it bounds
// them so that a whole fleet stays under half the service's rates, repeats reads, and
// stops calling for a while when the service is in trouble.
package storeclient
