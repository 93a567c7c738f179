package demo

import (
	"fmt"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
)

// server is one backend server: its flow and request processing, and its state in
// the configuration.
type server struct {
	name       string
	service    ServicePlan
	dataCentre string
	flowServer *backend.Server
	worker     Worker
	state      config.ServerState
}

const (
	serverWeight = 100
	// delayedServer and duplicatingServer are the numbers of the backend servers of
	// each service that reply late and twice, respectively.
	delayedServer     = 2
	duplicatingServer = 3
	replyDelay        = 300 * time.Millisecond
)

// startServer starts the next backend server of a service in a data centre.
func (env *environment) startServer(plan ServicePlan, dataCentre string) (*server, error) {
	env.started[plan.Name]++
	name := fmt.Sprintf("%s-%d", plan.Name, env.started[plan.Name])
	flowServer, err := backend.Start(backend.Config{
		Name: name, Service: plan.Address, Protocol: config.TCP, CallerSocket: env.fabric.SocketOf,
	})
	if err != nil {
		return nil, err
	}
	s := &server{name: name, service: plan, dataCentre: dataCentre, flowServer: flowServer, state: config.Active}
	env.servers = append(env.servers, s)
	options := WorkerOptions{
		Name: name, Slots: plan.Slots, Time: requestTime, Began: env.requestLog.began, Finished: env.requestLog.finished,
	}
	switch env.started[plan.Name] {
	case delayedServer:
		options.ReplyDelay = replyDelay
	case duplicatingServer:
		options.DuplicateReply = true
	}
	s.worker, err = env.platform.Worker(options)
	return s, err
}

func (s *server) close() {
	s.flowServer.Close()
	if s.worker != nil {
		s.worker.Close()
	}
}

// spec returns the server's entry in the configuration.
func (s *server) spec() config.ServerSpec {
	return config.ServerSpec{
		Name:       s.name,
		DataCentre: s.dataCentre,
		Packets:    s.flowServer.PacketAddr(),
		Requests:   s.worker.Addr(),
		Health:     s.flowServer.HealthURL(),
		Weight:     serverWeight,
		State:      s.state,
	}
}

// serversIn returns the backend servers of a data centre.
func (env *environment) serversIn(dataCentre string) []*server {
	var serversIn []*server
	for _, s := range env.servers {
		if s.dataCentre == dataCentre {
			serversIn = append(serversIn, s)
		}
	}
	return serversIn
}

// lastPacket returns the time at which the backend servers of a data centre last
// received a packet.
func (env *environment) lastPacket(dataCentre string) time.Time {
	var last time.Time
	for _, s := range env.serversIn(dataCentre) {
		if at := s.flowServer.Counts().LastPacket; at.After(last) {
			last = at
		}
	}
	return last
}

// imbalance returns, for each service, the largest number of flows at an active
// backend server over the mean of the active ones.
func (env *environment) imbalance() map[string]float64 {
	ratios := make(map[string]float64)
	for _, plan := range env.deployment.Services {
		largest, sum, n := 0, 0, 0
		for _, s := range env.servers {
			if s.service.Name != plan.Name || s.state != config.Active {
				continue
			}
			live := s.flowServer.Counts().Live
			largest, sum, n = max(largest, live), sum+live, n+1
		}
		if sum > 0 {
			ratios[plan.Name] = float64(largest) * float64(n) / float64(sum)
		}
	}
	return ratios
}

// wrongService returns the number of packets that reached a backend server of
// another service.
func (env *environment) wrongService() uint64 {
	var sum uint64
	for _, s := range env.servers {
		sum += s.flowServer.Counts().WrongService
	}
	for _, probed := range env.probedServers {
		sum += probed.Counts().WrongService
	}
	return sum
}
