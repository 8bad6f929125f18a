// Package platform is a director in service on the platform: what its configuration says, and the loop that owns one module,
// hands it what happened and carries its orders out.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/wire"
	"vetchwood/logic"
)

// Start is what a director is told when it starts, or is told anew.
type Start struct {
	Name, Listen, Discovery, Relay string
	Seed                           uint64
	Cores                          float64
	Memory                         int64 // bytes
	Sockets                        int
	Known                          codec.List
	Facts                          logic.Config
	Names                          *codec.Schema
	Resolution                     logic.Millis
}

type config struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Store    struct{ Address string }
	Known    codec.List
	Settings json.RawMessage
}

// Invalid is a configuration that can't be used; it names the place.
type Invalid struct {
	Where, Why string
	Err        error // of the system, where the file could not be read
}

func (e *Invalid) Error() string { return e.Where + ": " + e.Why }

func (e *Invalid) Unwrap() error { return e.Err }

// Load reads the configuration where GW_CONFIG says. The other variables stand in for what it leaves out; once the director runs, the
// file alone is read.
func Load(env func(string) string) (*Start, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return nil, &Invalid{Where: "GW_CONFIG", Why: "not set"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Invalid{Where: "GW_CONFIG", Why: err.Error(), Err: err}
	}
	s, err := parse(text, env)
	var invalid *Invalid
	if errors.As(err, &invalid) {
		invalid.Where = path + ": " + invalid.Where
	}
	return s, err
}

func parse(text []byte, env func(string) string) (*Start, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		var kind *json.UnmarshalTypeError
		var syntax *json.SyntaxError
		switch {
		case errors.As(err, &kind) && kind.Field != "":
			return nil, &Invalid{Where: strings.ToLower(kind.Field), Why: "not " + kind.Type.String()}
		case errors.As(err, &syntax):
			return nil, &Invalid{Where: fmt.Sprintf("byte %d", syntax.Offset), Why: err.Error()}
		}
		return nil, &Invalid{Where: "configuration", Why: err.Error()}
	}
	either := func(v, name string) string {
		if v == "" {
			return env(name)
		}
		return v
	}
	s := &Start{Name: either(c.Name, "GW_NAME"), Listen: either(c.Listen, "GW_LISTEN"),
		Discovery: either(c.Discovery, "GW_DISCOVERY"), Relay: c.Store.Address, Cores: c.Limits.Cores,
		Memory: int64(c.Limits.MemoryMB * (1 << 20)), Sockets: c.Limits.Sockets, Known: c.Known}
	for _, a := range []struct{ where, address string }{{"listen", s.Listen}, {"discovery", s.Discovery},
		{"store.address", s.Relay}} {
		host, port, err := net.SplitHostPort(a.address)
		if err != nil {
			return nil, &Invalid{Where: a.where, Why: fmt.Sprintf("%q is no address with a port", a.address)}
		}
		if net.ParseIP(host) == nil {
			return nil, &Invalid{Where: a.where, Why: fmt.Sprintf("%q is no IP address", host)}
		}
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
			return nil, &Invalid{Where: a.where, Why: fmt.Sprintf("%q is no port", port)}
		}
	}
	if s.Name == "" {
		return nil, &Invalid{Where: "name", Why: "missing"}
	}
	if s.Cores < 0 || s.Memory < 0 || s.Sockets < 0 {
		return nil, &Invalid{Where: "limits", Why: "below 0"}
	}
	if c.Seed != "" {
		seed, err := strconv.ParseUint(c.Seed, 16, 64)
		if err != nil {
			return nil, &Invalid{Where: "seed", Why: fmt.Sprintf("%q is no hexadecimal number of 64 bits", c.Seed)}
		}
		s.Seed = seed
	}
	if len(c.Settings) == 0 {
		return nil, &Invalid{Where: "settings", Why: "missing"}
	}
	f, n, err := wire.DecodeFacts(c.Settings)
	if err != nil {
		return nil, &Invalid{Where: "settings", Why: err.Error()}
	}
	s.Facts, s.Names, s.Resolution = f, codec.NewSchema(f, n), max(1, n.Resolution)
	if len(n.Zones) == 0 || len(f.Routes) == 0 {
		return nil, &Invalid{Where: "settings", Why: "no zones or no routes"}
	}
	return s, nil
}
