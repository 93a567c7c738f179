// Package catalogue holds what an instance knows of the platform: backend
// servers, the configuration and the evacuated data centres, as one immutable
// snapshot with its revision. A Mirror takes records as they are read from the
// store or passed on by other instances and never goes back to an older one. The
// package does no I/O and reads no clock; times are nanoseconds of the instance's
// steady clock.
package catalogue
