package demo

import "math/rand/v2"

// choiceStream numbers the random stream of the choices.
const choiceStream = 1 << 21

// choices are what the seed decides about the changes and failures.
type choices struct {
	// drained is the index of the backend server that drains.
	drained int
	// misread is the index of the backend server whose health endpoint says that it
	// fails while it serves.
	misread int
	// out is the data centre that is taken out; the backend server that joins is
	// placed in another one.
	out   string
	joins string
	// replaced, starts and killed are the data centres of the instance that is
	// replaced, of the one that starts while the store is gone, and of the one that
	// is killed.
	replaced string
	starts   string
	killed   string
}

func choose(seed uint64, d Deployment) choices {
	random := rand.New(rand.NewPCG(seed, choiceStream))
	somewhere := func() string { return d.dataCentre(random.IntN(len(d.DataCentres))) }
	drained := random.IntN(d.Services[0].Servers)
	misread := (drained + 1 + random.IntN(d.Services[0].Servers-1)) % d.Services[0].Servers
	out := random.IntN(len(d.DataCentres))
	return choices{
		drained:  drained,
		misread:  misread,
		out:      d.dataCentre(out),
		joins:    d.dataCentre(out + 1),
		replaced: somewhere(),
		starts:   somewhere(),
		killed:   somewhere(),
	}
}
