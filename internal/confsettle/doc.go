// Package confsettle gathers the settlements of the whole fleet at one instance,
// which writes those that come together as one version. When a data centre is
// taken out, every service settles at once: written one by one, by as many
// instances, they would spend their time losing races for the head.
//
// The one that writes is chosen by rendezvous hashing over the view and does
// nothing that others could not: whoever does not reach it writes itself, and
// the store's compare-and-swap keeps two of them apart.
package confsettle
