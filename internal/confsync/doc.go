// Package confsync brings the newest configuration into force at an instance.
//
// Few instances of each data centre watch the store. They tell the others the
// version, and those pull what they lack of it from the peer that told them.
// Every message between instances carries a version as well, so that one that
// missed it notices with the next. The store is read by the others only while
// all peers are silent. A version is never gone back from.
package confsync
