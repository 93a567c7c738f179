// Package confstore reads and writes the configuration in the platform's store.
//
// One key, the head, holds everything but the services and refers to the values
// that hold them. A writer allocates a number for each value, writes the
// values, and swaps the head last. The head names each value by its number and
// digest, so a reader gets a complete version or detects that it has to read
// again. A change writes one value with the services that it changed, so
// reading a change costs two reads. Values that no head names are reused.
package confstore
