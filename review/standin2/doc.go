// Command standin2 plays the script cases of the second review: it starts
// balsamfork-flowd as separate processes and, as stand-ins, the platform's store and
// fabric, backend servers and consumers, all on loopback addresses and the real clock.
//
// Usage: standin2 CASE RECORD. The exit code is 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run. With TROUBLE=0 the disturbance is left out.
package main
