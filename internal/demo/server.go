package demo

import (
	"fmt"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
)

// server is one backend server: its flows, its requests, and what the operator
// wants of it.
type server struct {
	name       string
	service    ServicePlan
	dataCentre string
	flows      *backend.Server
	worker     Worker
	state      config.ServerState
}

const (
	serverWeight = 100
	// lateServer and doublingServer are the backend servers of each service, by
	// number, that answer late and twice.
	lateServer     = 2
	doublingServer = 3
	lateAnswer     = 300 * time.Millisecond
)

// startServer starts the next backend server of a service in a data centre.
func (w *world) startServer(plan ServicePlan, dataCentre string) (*server, error) {
	w.started[plan.Name]++
	name := fmt.Sprintf("%s-%d", plan.Name, w.started[plan.Name])
	flows, err := backend.Start(backend.Config{
		Name: name, Service: plan.Address, Protocol: config.TCP, Callers: w.fabric.Caller,
	})
	if err != nil {
		return nil, err
	}
	s := &server{name: name, service: plan, dataCentre: dataCentre, flows: flows, state: config.Active}
	w.servers = append(w.servers, s)
	options := WorkerOptions{
		Name: name, Slots: plan.Slots, Time: requestTime, Began: w.ledger.began, Finished: w.ledger.finished,
	}
	switch w.started[plan.Name] {
	case lateServer:
		options.Late = lateAnswer
	case doublingServer:
		options.Double = true
	}
	s.worker, err = w.platform.Worker(options)
	return s, err
}

func (s *server) close() {
	s.flows.Close()
	if s.worker != nil {
		s.worker.Close()
	}
}

// spec returns the server's entry in the configuration.
func (s *server) spec() config.ServerSpec {
	return config.ServerSpec{
		Name:       s.name,
		DataCentre: s.dataCentre,
		Packets:    s.flows.Packets(),
		Requests:   s.worker.Addr(),
		Health:     s.flows.HealthURL(),
		Weight:     serverWeight,
		State:      s.state,
	}
}

// in returns the backend servers of a data centre.
func (w *world) in(dataCentre string) []*server {
	var in []*server
	for _, s := range w.servers {
		if s.dataCentre == dataCentre {
			in = append(in, s)
		}
	}
	return in
}

// lastPacket returns when the data centre's backend servers got their last one.
func (w *world) lastPacket(dataCentre string) time.Time {
	var last time.Time
	for _, s := range w.in(dataCentre) {
		if at := s.flows.Counts().Last; at.After(last) {
			last = at
		}
	}
	return last
}

// imbalance returns the largest number of flows at a backend server that takes
// new ones over the mean, for each service.
func (w *world) imbalance() map[string]float64 {
	ratios := make(map[string]float64)
	for _, plan := range w.deployment.Services {
		most, sum, n := 0, 0, 0
		for _, s := range w.servers {
			if s.service.Name != plan.Name || s.state != config.Active {
				continue
			}
			live := s.flows.Counts().Live
			most, sum, n = max(most, live), sum+live, n+1
		}
		if sum > 0 {
			ratios[plan.Name] = float64(most) * float64(n) / float64(sum)
		}
	}
	return ratios
}

// wrongService counts packets that reached a backend server of another service.
func (w *world) wrongService() uint64 {
	var sum uint64
	for _, s := range w.servers {
		sum += s.flows.Counts().WrongService
	}
	for _, c := range w.checks {
		sum += c.Counts().WrongService
	}
	return sum
}
