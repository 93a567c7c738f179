// Package storeclient adds rate limits, retries and a circuit breaker to the calls of the
// platform's key-value service: it limits the calls so that a whole fleet stays at or
// below half the service's rate limits, retries reads, and makes no calls for one to two
// seconds after repeated failures of the service.
package storeclient
