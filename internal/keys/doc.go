// Package keys holds the certificates of the control link: those that an
// instance proves itself with, and the authorities whose certificates it
// accepts from instances and operators. They are read from PEM files and read
// again when the files change, without cutting a connection that stands.
//
// A certificate names its holder in a URI: balsamfork://instance/ID for an
// instance and balsamfork://operator/NAME for an operator.
package keys

import "github.com/zeebo/errs"

// The classes of errors about certificates. Unreadable is a file that is
// missing or is not PEM; Expired is a certificate outside its dates; Foreign is
// one that no trusted authority has signed; Unnamed is one without a holder
// that this package knows.
var (
	Unreadable = errs.Class("keys: unreadable")
	Expired    = errs.Class("keys: expired")
	Foreign    = errs.Class("keys: foreign")
	Unnamed    = errs.Class("keys: no holder named")
)
