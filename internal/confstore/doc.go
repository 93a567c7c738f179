// Package confstore reads and writes the configuration in the platform's store.
//
// One key, the head, holds everything but the services, and says in which
// values the services are. A value is written under a number that its writer
// has allocated for itself, and the head, swapped last, names it with its
// digest: a reader sees a whole version or learns that it has to read again. A
// change writes one value with the services that it changed, so that reading a
// change costs two reads. Values that no head names are allocated again.
package confstore
