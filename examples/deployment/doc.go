// Package deployment declares the two deployments that balsamfork was designed for.
// Every backend server has a loopback address, so that a deployment can run on
// one machine.
package deployment
