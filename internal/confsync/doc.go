// Package confsync distributes the newest configuration to the instances and
// brings it into force.
//
// A few instances of each data centre watch the store. They notify the others
// of a new version, and each of those pulls the records that it lacks from a
// peer that has the version. Every message between instances carries a version
// as well, so an instance that missed a notification learns of the version from
// the next message. The other instances read the store only while all peers are
// silent or while they have no configuration yet. An instance never returns to
// an older version.
//
// A watcher that finds that the store was restored from a backup writes a version
// to it on which the store and the instances agree again.
package confsync
