package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
	"unicode"

	"balsamfork/internal/strictjson"
)

// The limits of a document.
const (
	// MaxServices is the largest number of services.
	MaxServices = 2000
	// MaxServersPerService is the largest number of backend servers of a service. It
	// keeps the stored form of a service below the value size limit of the store.
	MaxServersPerService = 1000
	// MaxDataCentres is the largest number of data centres.
	MaxDataCentres = 100
	// MaxWeight is the largest weight of a backend server.
	MaxWeight = 1000
	// MaxSlots is the largest number of request slots of a backend server.
	MaxSlots = 10_000
	// MaxIdleLimit is the longest idle limit.
	MaxIdleLimit = 30 * 24 * time.Hour
	// MinIdleLimit is the shortest idle limit other than zero.
	MinIdleLimit = time.Second
	// MaxRamp is the longest ramp duration.
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
		endpoints:   map[string]string{},
	}
	if d.Format != DocumentFormat {
		v.problems.Add("format", "must be %d, is %d", DocumentFormat, d.Format)
	}
	v.dataCentreList(d.DataCentres)
	if len(d.Services) > MaxServices {
		v.problems.Add("services", "must have at most %d entries, has %d", MaxServices, len(d.Services))
	}
	for i, s := range d.Services {
		v.service(strictjson.Index("services", i), s)
	}
	return v.problems
}

// validator collects problems. Its maps hold the values seen so far, to detect
// duplicates, each with the path of its first use.
type validator struct {
	problems    strictjson.Problems
	dataCentres map[string]bool
	services    map[string]string
	addresses   map[string]string
	endpoints   map[string]string
}

func (v *validator) dataCentreList(list []DataCentreSpec) {
	if len(list) == 0 {
		v.problems.Add("dataCentres", "must name at least one data centre")
	}
	if len(list) > MaxDataCentres {
		v.problems.Add("dataCentres", "must have at most %d entries, has %d", MaxDataCentres, len(list))
	}
	paths := map[string]string{}
	for i, dc := range list {
		path := strictjson.Index("dataCentres", i)
		v.name(path, dc.Name, paths)
		v.dataCentres[dc.Name] = true
		if dc.Region != "" {
			v.nameSyntax(strictjson.Field(path, "region"), dc.Region)
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
		v.problems.Add(list, "must have at most %d entries, has %d", MaxServersPerService, len(s.BackendServers))
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
	if !v.endpoint(at, s.Address) {
		return
	}
	v.unique(at, fmt.Sprintf("%v/%v", s.Address, s.Protocol), v.addresses)
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
	if at := strictjson.Field(path, "packets"); v.endpoint(at, b.Packets) {
		v.unique(at, "packets "+b.Packets.String(), v.endpoints)
	}
	if at := strictjson.Field(path, "requests"); b.Requests.IsValid() && v.endpoint(at, b.Requests) {
		v.unique(at, "requests "+b.Requests.String(), v.endpoints)
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

// name checks that the object at path has a valid and unique name.
func (v *validator) name(path, name string, seen map[string]string) {
	at := strictjson.Field(path, "name")
	if v.nameSyntax(at, name) {
		v.unique(at, name, seen)
	}
}

func (v *validator) nameSyntax(path, name string) bool {
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

func (v *validator) endpoint(path string, a netip.AddrPort) bool {
	switch {
	case !a.IsValid():
		v.problems.Add(path, "must be given")
	case a.Port() == 0:
		v.problems.Add(path, "must name a port, is %v", a)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		v.problems.Add(path, "must be a unicast address without a zone, is %v", a)
	case a.Addr().Is4In6():
		v.problems.Add(path, "must be written as IPv4, is %v", a)
	default:
		return true
	}
	return false
}

// unique reports a value that an earlier field already has.
func (v *validator) unique(path, value string, seen map[string]string) {
	if first, taken := seen[value]; taken {
		v.problems.Add(path, "%s is used already by %s", value, first)
		return
	}
	seen[value] = path
}
