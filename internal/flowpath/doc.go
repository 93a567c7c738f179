// Package flowpath is the packet path behind a fabric whose ends carry a flow
// cookie: an opening packet is placed on a backend server and marked with the
// server's cookie, and every later packet brings the cookie to whichever instance
// gets it. Decider holds the decisions; Path the socket. Packets of known flows
// cost no allocation and take no lock.
package flowpath
