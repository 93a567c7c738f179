package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
	"unicode"

	"balsamfork/internal/strictjson"
)

// The bounds of what a document may hold.
const (
	// MaxServices is the largest number of services.
	MaxServices = 2000
	// MaxServersPerService keeps the stored form of a service under the largest
	// value that the store takes.
	MaxServersPerService = 1000
	// MaxDataCentres is the largest number of data centres.
	MaxDataCentres = 100
	// MaxWeight is the largest weight of a backend server.
	MaxWeight = 1000
	// MaxSlots is the largest number of slots of a backend server.
	MaxSlots = 10_000
	// MaxIdleLimit is the longest silence of a flow that can be asked for.
	MaxIdleLimit = 30 * 24 * time.Hour
	// MinIdleLimit is the shortest one that is not zero.
	MinIdleLimit = time.Second
	// MaxRamp is the longest ramp.
	MaxRamp = 24 * time.Hour

	maxNameBytes   = 63
	maxHealthBytes = 255
)

// Validate returns all problems of the document, each with its path.
func (d Document) Validate() strictjson.Problems {
	v := validator{
		dataCentres: map[string]bool{},
		services:    map[string]string{},
		addresses:   map[string]string{},
		sockets:     map[string]string{},
	}
	if d.Format != DocumentFormat {
		v.problems.Add("format", "must be %d, is %d", DocumentFormat, d.Format)
	}
	v.dataCentreList(d.DataCentres)
	if len(d.Services) > MaxServices {
		v.problems.Add("services", "must be at most %d, are %d", MaxServices, len(d.Services))
	}
	for i, s := range d.Services {
		v.service(strictjson.Index("services", i), s)
	}
	return v.problems
}

// validator remembers what was seen, each with the path where it was.
type validator struct {
	problems    strictjson.Problems
	dataCentres map[string]bool
	services    map[string]string
	addresses   map[string]string
	sockets     map[string]string
}

func (v *validator) dataCentreList(list []DataCentreSpec) {
	if len(list) == 0 {
		v.problems.Add("dataCentres", "must name at least one data centre")
	}
	if len(list) > MaxDataCentres {
		v.problems.Add("dataCentres", "must be at most %d, are %d", MaxDataCentres, len(list))
	}
	paths := map[string]string{}
	for i, dc := range list {
		path := strictjson.Index("dataCentres", i)
		v.name(path, dc.Name, paths)
		v.dataCentres[dc.Name] = true
		if dc.Region != "" {
			v.nameForm(strictjson.Field(path, "region"), dc.Region)
		}
	}
}

func (v *validator) service(path string, s ServiceDocument) {
	v.name(path, s.Name, v.services)
	v.serviceAddress(path, s.ServiceSpec)
	v.idleLimit(path, s.ServiceSpec)
	if s.Slots < 1 || s.Slots > MaxSlots {
		v.problems.Add(strictjson.Field(path, "slots"), "must be from 1 to %d, is %d", MaxSlots, s.Slots)
	}
	v.ramp(strictjson.Field(path, "ramp"), s.Ramp)
	list := strictjson.Field(path, "backendServers")
	if len(s.BackendServers) > MaxServersPerService {
		v.problems.Add(list, "must be at most %d, are %d", MaxServersPerService, len(s.BackendServers))
	}
	names := map[string]string{}
	for i, b := range s.BackendServers {
		v.server(strictjson.Index(list, i), b, names)
	}
}

func (v *validator) serviceAddress(path string, s ServiceSpec) {
	at := strictjson.Field(path, "address")
	if s.Protocol != TCP && s.Protocol != UDP {
		v.problems.Add(strictjson.Field(path, "protocol"), "must be tcp or udp")
	}
	if !v.socketForm(at, s.Address) {
		return
	}
	v.once(at, fmt.Sprintf("%v/%v", s.Address, s.Protocol), v.addresses)
}

func (v *validator) idleLimit(path string, s ServiceSpec) {
	at := strictjson.Field(path, "idleLimit")
	limit := time.Duration(s.IdleLimit)
	switch {
	case limit == 0 && s.Protocol == UDP:
		v.problems.Add(at, "must be given for udp, whose flows have no closing packet")
	case limit != 0 && (limit < MinIdleLimit || limit > MaxIdleLimit):
		v.problems.Add(at, "must be from %v to %v, is %v", MinIdleLimit, MaxIdleLimit, limit)
	}
}

func (v *validator) ramp(path string, r RampSpec) {
	if r == (RampSpec{}) {
		return
	}
	if !(r.Start > 0 && r.Start <= 1) {
		v.problems.Add(strictjson.Field(path, "start"), "must be over 0 and at most 1, is %v", r.Start)
	}
	length := time.Duration(r.Duration)
	if length <= 0 || length > MaxRamp {
		v.problems.Add(strictjson.Field(path, "duration"), "must be over 0s and at most %v, is %v", MaxRamp, length)
	}
}

func (v *validator) server(path string, b ServerSpec, names map[string]string) {
	v.name(path, b.Name, names)
	if !v.dataCentres[b.DataCentre] {
		v.problems.Add(strictjson.Field(path, "dataCentre"), "unknown data centre %q", b.DataCentre)
	}
	if at := strictjson.Field(path, "packets"); v.socketForm(at, b.Packets) {
		v.once(at, "packets "+b.Packets.String(), v.sockets)
	}
	if at := strictjson.Field(path, "requests"); b.Requests.IsValid() && v.socketForm(at, b.Requests) {
		v.once(at, "requests "+b.Requests.String(), v.sockets)
	}
	if b.Health != "" {
		v.health(strictjson.Field(path, "health"), b.Health)
	}
	if b.Weight < 1 || b.Weight > MaxWeight {
		v.problems.Add(strictjson.Field(path, "weight"),
			"must be from 1 to %d, is %d; a backend server that shall take nothing new is draining", MaxWeight, b.Weight)
	}
	if b.State != Active && b.State != Draining && b.State != 0 {
		v.problems.Add(strictjson.Field(path, "state"), "must be active or draining, is %v", b.State)
	}
}

func (v *validator) health(path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		v.problems.Add(path, "must be an http or https URL, is %q", text)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		v.problems.Add(path, "must name its host by IP address, is %q", text)
	}
	if len(text) > maxHealthBytes {
		v.problems.Add(path, "must be at most %d bytes long", maxHealthBytes)
	}
}

// name checks the name of the object at path and that no other has it.
func (v *validator) name(path, name string, seen map[string]string) {
	at := strictjson.Field(path, "name")
	if v.nameForm(at, name) {
		v.once(at, name, seen)
	}
}

func (v *validator) nameForm(path, name string) bool {
	if name == "" || len(name) > maxNameBytes {
		v.problems.Add(path, "must be from 1 to %d bytes long, is %q", maxNameBytes, name)
		return false
	}
	for _, r := range name {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_' && r != '.' {
			v.problems.Add(path, "must consist of letters, digits and -_. only, is %q", name)
			return false
		}
	}
	return true
}

func (v *validator) socketForm(path string, a netip.AddrPort) bool {
	switch {
	case !a.IsValid():
		v.problems.Add(path, "must be given")
	case a.Port() == 0:
		v.problems.Add(path, "must name a port, is %v", a)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		v.problems.Add(path, "must be the address of one machine, is %v", a)
	case a.Addr().Is4In6():
		v.problems.Add(path, "must be written as IPv4, is %v", a)
	default:
		return true
	}
	return false
}

// once reports a value that an earlier field has already.
func (v *validator) once(path, value string, seen map[string]string) {
	if first, taken := seen[value]; taken {
		v.problems.Add(path, "%s is used already by %s", value, first)
		return
	}
	seen[value] = path
}
