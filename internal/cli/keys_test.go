package cli

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/keys"
)

// TestHoldersAreSorted lists the files of many holders: they are in the order of names.
func TestHoldersAreSorted(t *testing.T) {
	is := is.New(t)
	files := map[keys.Identity]keys.Files{}
	for n := range 20 {
		files[keys.Identity{Role: keys.Instance, Name: fmt.Sprint("i", n)}] = keys.Files{}
	}
	is.True(slices.IsSortedFunc(listHolders(files), func(a, b holderFiles) int { return strings.Compare(a.Holder, b.Holder) }))
}
