// Package store is a small stand-in for the platform's key-value service. It
// serves over HTTP what package storeclient speaks, keeps everything in memory,
// limits its rates, and can be told to fail in the ways that the service does.
//
//	GET  /v1/keys/KEY                 200 {revision, data}, 404
//	PUT  /v1/keys/KEY?revision=N      200 {revision}, 409, 413
//	GET  /v1/watch/KEY?after=N&wait=D 200 {revision, data}, 204 when D has passed
//	POST /v1/leases/KEY               {holder, ttlMillis}: 200 lease, 409
//
// Any of them is answered by 429 over the rate and by 503 when it is down; both
// mean that nothing was done.
package store
