package demo

import "math/rand/v2"

// choiceStream numbers the random stream of the choices.
const choiceStream = 1 << 21

// choices are what the seed decides about the changes and failures.
type choices struct {
	// drained is the index of the backend server that drains.
	drained int
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
	out := random.IntN(len(d.DataCentres))
	return choices{
		drained:  random.IntN(d.Services[0].Servers),
		out:      d.dataCentre(out),
		joins:    d.dataCentre(out + 1),
		replaced: somewhere(),
		starts:   somewhere(),
		killed:   somewhere(),
	}
}
