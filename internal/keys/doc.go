// Package keys holds the TLS certificates of the control link: an instance's
// own certificate, and the authorities that it trusts to sign those of other
// instances and of operators. They are loaded from PEM files and reloaded when
// the files change, without closing established connections.
//
// A certificate names its holder in a URI: balsamfork://instance/ID for an
// instance and balsamfork://operator/NAME for an operator.
package keys

import "github.com/zeebo/errs"

// The classes of errors about certificates. Unreadable is for a file that is
// missing or is not valid PEM; Expired for a certificate outside its validity
// period; Untrusted for one that no trusted authority has signed, or that
// belongs to another holder than expected; NoIdentity for one whose URIs do not
// name exactly one holder.
var (
	Unreadable = errs.Class("keys: unreadable")
	Expired    = errs.Class("keys: expired")
	Untrusted  = errs.Class("keys: foreign")
	NoIdentity = errs.Class("keys: no holder named")
)
