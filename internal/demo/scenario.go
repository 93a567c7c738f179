package demo

import "math/rand/v2"

// scenarioStream is the number of the random stream that selects the scenario.
const scenarioStream = 1 << 21

// scenario holds the targets of the changes and failures, which the seed determines.
type scenario struct {
	// drainedServer is the index of the backend server that is drained.
	drainedServer int
	// healthFault is the index of the backend server whose health endpoint reports
	// a failure while it serves.
	healthFault int
	// takenOut is the data centre that is taken out; joining is another one, to which
	// a backend server is added.
	takenOut string
	joining  string
	// replaced, starting and killed are the data centres of the instance that is
	// replaced, of the one that starts while the store is unavailable, and of the
	// one that is killed.
	replaced string
	starting string
	killed   string
}

func newScenario(seed uint64, d Deployment) scenario {
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	randomDataCentre := func() string { return d.dataCentre(rng.IntN(len(d.DataCentres))) }
	drainedServer := rng.IntN(d.Services[0].Servers)
	healthFault := (drainedServer + 1 + rng.IntN(d.Services[0].Servers-1)) % d.Services[0].Servers
	takenOut := rng.IntN(len(d.DataCentres))
	return scenario{
		drainedServer: drainedServer,
		healthFault:   healthFault,
		takenOut:      d.dataCentre(takenOut),
		joining:       d.dataCentre(takenOut + 1),
		replaced:      randomDataCentre(),
		starting:      randomDataCentre(),
		killed:        randomDataCentre(),
	}
}
