// Package storeclient speaks to the platform's key-value service over HTTP. It
// bounds its calls so that a whole fleet stays under half the service's rates,
// and stops calling for a while when the service is in trouble.
package storeclient
