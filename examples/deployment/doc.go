// Package deployment declares the two deployments that balsamfork was made for,
// with every backend server on a loopback address, so that they can be tried on
// one machine.
package deployment
