// Package lrs implements the format of load reports of proxies: the JSON mapping of LoadStatsRequest of the published
// Load Reporting Service (LRS), as far as it is used here. A route is a cluster, and a slice or table is its
// cluster_service_name.
package lrs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"vetchwood/internal/control"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Count is a 64-bit number. The JSON mapping writes it as a string and accepts a string or a number.
type Count uint64

// MarshalJSON implements json.Marshaler.
func (c Count) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatUint(uint64(c), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts numbers below 2^53, which JSON readers represent exactly.
func (c *Count) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseUint(string(bytes.Trim(b, `"`)), 10, 53)
	if err != nil {
		return fmt.Errorf("%.30s is no count", b)
	}
	*c = Count(n)
	return nil
}

// The messages of the JSON mapping.
type (
	// Request is a load report, a LoadStatsRequest.
	Request struct {
		Node         Node           `json:"node"`
		ClusterStats []ClusterStats `json:"cluster_stats"`
	}
	// Node identifies the proxy that sends the report.
	Node struct {
		ID       string   `json:"id"`
		Locality Locality `json:"locality"`
	}
	// Locality is a zone.
	Locality struct {
		Zone string `json:"zone,omitempty"`
	}
	// ClusterStats holds the statistics of a route, or of one slice or table of it.
	ClusterStats struct {
		Name               string          `json:"cluster_name"`
		ServiceName        string          `json:"cluster_service_name,omitempty"`
		Localities         []LocalityStats `json:"upstream_locality_stats,omitempty"`
		TotalDropped       Count           `json:"total_dropped_requests,omitempty"`
		LoadReportInterval string          `json:"load_report_interval,omitempty"`
	}
	// LocalityStats holds the statistics of the hosts in a locality.
	LocalityStats struct {
		Locality  Locality        `json:"locality"`
		Endpoints []EndpointStats `json:"upstream_endpoint_stats,omitempty"`
		Metrics   []MetricStats   `json:"load_metric_stats,omitempty"`
	}
	// EndpointStats holds the statistics of tries at a host.
	EndpointStats struct {
		Address    Address       `json:"address"`
		Successful Count         `json:"total_successful_requests"`
		Errors     Count         `json:"total_error_requests"`
		Issued     Count         `json:"total_issued_requests"`
		Metrics    []MetricStats `json:"load_metric_stats,omitempty"`
	}
	// Address is the address of a host.
	Address struct {
		Socket Socket `json:"socket_address"`
	}
	// Socket is an IP address and port.
	Socket struct {
		Address string `json:"address"`
		Port    int    `json:"port_value"`
	}
	// MetricStats is the sum of a metric over the requests that reported it.
	MetricStats struct {
		Name     string  `json:"metric_name"`
		Finished Count   `json:"num_requests_finished_with_metric"`
		Total    float64 `json:"total_metric_value"`
	}
)

// Metrics of this project, in addition to those of package orca. AnswerMs is the total time of answers at an endpoint.
// At a locality, Calls is the number of calls that arrived for the route (tries are counted at endpoints) and Unanswered
// the number of admitted calls that got no answer.
const (
	AnswerMs   = "vetchwood.answer_ms"
	Calls      = "vetchwood.calls"
	Unanswered = "vetchwood.unanswered"
)

// AddressOf converts the address of a host.
func AddressOf(a tables.Address) (Address, error) {
	p, err := netip.ParseAddrPort(string(a))
	return Address{Socket{p.Addr().String(), int(p.Port())}}, err
}

// Decode converts a body to a report. Each error names the position in the body.
func Decode(body []byte) (r control.Report, err error) {
	var q Request
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&q); err != nil {
		return r, fmt.Errorf("load stats: %w", err)
	}
	if dec.More() {
		return r, fmt.Errorf("load stats: more than one JSON value")
	}
	r.Proxy = q.Node.ID
	for i, c := range q.ClusterStats {
		calls := control.RouteCalls{Route: c.Name, Table: c.ServiceName}
		for j, u := range c.Localities {
			at := fmt.Sprintf("cluster_stats[%d].upstream_locality_stats[%d]", i, j)
			for _, m := range u.Metrics {
				if !(m.Total >= 0) || m.Total > 1e9 {
					return r, fmt.Errorf("load stats: %s: metric %.40q: %v is out of range", at, m.Name, m.Total)
				}
				switch m.Name {
				case Calls:
					calls.Calls += int(m.Total)
				case Unanswered:
					calls.Unanswered += int(m.Total)
				}
			}
			for k, e := range u.Endpoints {
				tries, err := e.hostTries()
				if err != nil {
					return r, fmt.Errorf("load stats: %s.upstream_endpoint_stats[%d]: %w", at, k, err)
				}
				r.Tries = append(r.Tries, tries)
			}
		}
		if calls.Calls > 0 || calls.Unanswered > 0 {
			r.Calls = append(r.Calls, calls)
		}
	}
	return r, nil
}

// hostTries converts the statistics of an endpoint to those of tries at a host.
func (e EndpointStats) hostTries() (t control.HostTries, err error) {
	ip, err := netip.ParseAddr(e.Address.Socket.Address)
	if err != nil || e.Address.Socket.Port < 1 || e.Address.Socket.Port > 65535 {
		return t, fmt.Errorf("address %.40q, port %d: no socket address", e.Address.Socket.Address, e.Address.Socket.Port)
	}
	if e.Successful > 1e9 || e.Errors > 1e9 {
		return t, fmt.Errorf("more than 1e9 requests")
	}
	t = control.HostTries{Address: tables.Address(netip.AddrPortFrom(ip, uint16(e.Address.Socket.Port)).String()),
		Ended: int(e.Successful + e.Errors), Unanswered: int(e.Errors)}
	var load logic.Load
	for _, m := range e.Metrics {
		if math.IsNaN(m.Total) || m.Total < 0 || m.Total > 1e12 {
			return t, fmt.Errorf("metric %.40q: %v is out of range", m.Name, m.Total)
		}
		if m.Name == AnswerMs {
			t.AnsweredMs = m.Total
		} else if m.Finished > 0 {
			orca.SetMetric(&load, m.Name, m.Total/float64(m.Finished))
		}
	}
	t.Load = load
	return t, nil
}
