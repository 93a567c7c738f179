// Package status holds the report that an instance gives to operators: what it
// serves by and whom it knows. The types are those of the JSON.
package status

import (
	"context"
	"encoding/json"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/peer"
)

// Method is the method that operators call on the control link. It has no
// parameters; its result is a Report.
const Method = "operator.status"

// ConfigurationMethod is the method by which operators read the configuration in
// force. It has no parameters; its result is a config.State, or null.
const ConfigurationMethod = "operator.configuration"

// Report is what one instance knows.
type Report struct {
	Instance fleet.ID       `json:"instance"`
	Version  config.Version `json:"version"`
	Ready    bool           `json:"ready"`
	// Waiting says what the instance waits for while it is not ready.
	Waiting   string     `json:"waiting,omitempty"`
	Instances []Instance `json:"instances"`
	Services  []Service  `json:"services"`
	Flows     Flows      `json:"flows"`
}

// Instance is one row of the table of instances.
type Instance struct {
	ID         fleet.ID       `json:"id"`
	DataCentre string         `json:"dataCentre"`
	State      string         `json:"state"`
	Version    config.Version `json:"version"`
}

// Service is one service and its backend servers.
type Service struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Settled says that no change of the service is under way.
	Settled bool     `json:"settled"`
	Slots   int      `json:"slots"`
	Servers []Server `json:"backendServers"`
}

// Server is one backend server as the instance sees it.
type Server struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Condition  string `json:"condition"`
	Weight     uint32 `json:"weight"`
}

// Flows counts packets since the start and the records held now.
type Flows struct {
	Received  uint64 `json:"received"`
	Forwarded uint64 `json:"forwarded"`
	Relayed   uint64 `json:"relayed"`
	Dropped   uint64 `json:"dropped"`
	Records   int    `json:"records"`
}

// Source is what a report is made from.
type Source interface {
	View() *fleet.View
	// Config returns nil before the first configuration.
	Config() *config.Config
	Announcements() []flow.Announcement
	Ready() (bool, string)
	Flows() Flows
}

// Register answers operators with a report from the source.
func Register(r OperatorRegistry, s Source) {
	r.HandleOperator(Method, func(context.Context, fleet.ID, json.RawMessage) (any, error) {
		return New(s), nil
	})
}

// RegisterConfiguration answers operators with the stored form in force, which is
// nil before the first.
func RegisterConfiguration(r OperatorRegistry, inForce func() *config.State) {
	r.HandleOperator(ConfigurationMethod, func(context.Context, fleet.ID, json.RawMessage) (any, error) {
		return inForce(), nil
	})
}

// OperatorRegistry takes the handlers of methods that operators may call.
type OperatorRegistry interface {
	HandleOperator(method string, h peer.Handler)
}

// New makes a report from the source as it is now.
func New(s Source) Report {
	view := s.View()
	ready, waiting := s.Ready()
	r := Report{Instance: view.Self, Ready: ready, Waiting: waiting, Flows: s.Flows()}
	for _, i := range view.Instances {
		r.Instances = append(r.Instances, Instance{
			ID: i.ID, DataCentre: i.DataCentre, State: i.State.String(), Version: i.Applied,
		})
	}
	c := s.Config()
	if c == nil {
		return r
	}
	r.Version = c.Version
	conditions := conditionsOf(s.Announcements())
	for i := range c.Services {
		r.Services = append(r.Services, service(&c.Services[i], conditions))
	}
	return r
}

func conditionsOf(all []flow.Announcement) map[config.Number]flow.Condition {
	conditions := make(map[config.Number]flow.Condition, len(all))
	for _, a := range all {
		conditions[a.Server] = a.Condition
	}
	return conditions
}

func service(s *config.Service, conditions map[config.Number]flow.Condition) Service {
	out := Service{
		Name:    s.Name,
		Address: s.Address.String(),
		Settled: s.IsSettled(),
		Slots:   s.Slots,
	}
	for _, b := range s.Servers {
		out.Servers = append(out.Servers, Server{
			Name:       b.Name,
			DataCentre: b.DataCentre,
			State:      b.State.String(),
			Condition:  conditions[b.Number].String(),
			Weight:     b.Weight,
		})
	}
	return out
}
