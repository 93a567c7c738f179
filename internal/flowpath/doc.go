// Package flowpath is the packet path behind a network fabric in which both ends of a
// flow carry a flow cookie: an opening packet is assigned to a backend server and
// marked with the server's cookie, and every later packet carries the cookie to
// whichever instance receives it. Decider makes the decisions; Path owns the socket.
// Packets of known flows cause no allocation and take no lock.
package flowpath
