// Package deployment declares the two deployments that balsamfork was designed for.
// Every backend server has a loopback address, so that they can run on one machine.
package deployment
