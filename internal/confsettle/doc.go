// Package confsettle collects the settlements of the whole fleet at one
// instance, the writer, which writes a batch of them as one version. When a
// data centre is taken out, every service settles at once. If each instance
// wrote its own settlements one by one, most attempts would fail because
// another instance had written a version first.
//
// The writer is chosen by rendezvous hashing over the view and has no
// privileges: an instance that cannot reach it writes to the store itself, and
// the store's compare-and-swap serialises concurrent writers.
package confsettle
