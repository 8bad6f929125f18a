// Package platform runs a director on the platform. It reads the configuration and runs the event loop that owns the
// decision module: the loop passes events to the module and executes the orders that it returns.
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

// Config is the validated configuration of a director, as read at the start or at a reload.
type Config struct {
	Name, Listen, Discovery, Relay string
	Seed                           uint64
	Cores                          float64    // CPU limit in cores; 0: none
	Memory                         int64      // memory limit in bytes; 0: none
	Sockets                        int        // limit of open descriptors; 0: none
	InitialHosts                   codec.List // hosts in use until discovery answers
	Settings                       logic.Config
	Schema                         *codec.Schema
	Resolution                     logic.Millis // time for which events are collected before each pass of the event loop
}

// configFile is the configuration as written in the JSON file.
type configFile struct {
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

// ConfigError reports an unusable configuration. Where names the setting at fault, after the path of the
// file if that could be read.
type ConfigError struct {
	Where, Why string
	Err        error // the system error, if the file could not be read
}

func (e *ConfigError) Error() string { return e.Where + ": " + e.Why }

func (e *ConfigError) Unwrap() error { return e.Err }

// Load reads the configuration file that GW_CONFIG names. The environment variables GW_NAME, GW_LISTEN and GW_DISCOVERY
// provide settings that the file omits. A reload can change only what the file contains.
func Load(env func(string) string) (*Config, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return nil, &ConfigError{Where: "GW_CONFIG", Why: "not set"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Where: "GW_CONFIG", Why: err.Error(), Err: err}
	}
	config, err := parse(text, env)
	var invalid *ConfigError
	if errors.As(err, &invalid) {
		invalid.Where = path + ": " + invalid.Where
	}
	return config, err
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		var typeError *json.UnmarshalTypeError
		var syntaxError *json.SyntaxError
		switch {
		case errors.As(err, &typeError) && typeError.Field != "":
			return nil, &ConfigError{Where: strings.ToLower(typeError.Field), Why: "expected type " + typeError.Type.String()}
		case errors.As(err, &syntaxError):
			return nil, &ConfigError{Where: fmt.Sprintf("byte %d", syntaxError.Offset), Why: err.Error()}
		}
		return nil, &ConfigError{Where: "configuration", Why: err.Error()}
	}
	withFallback := func(v, name string) string {
		if v == "" {
			return env(name)
		}
		return v
	}
	config := &Config{Name: withFallback(file.Name, "GW_NAME"), Listen: withFallback(file.Listen, "GW_LISTEN"),
		Discovery: withFallback(file.Discovery, "GW_DISCOVERY"), Relay: file.Store.Address, Cores: file.Limits.Cores,
		Memory: int64(file.Limits.MemoryMB * (1 << 20)), Sockets: file.Limits.Sockets, InitialHosts: file.Known}
	for _, a := range []struct{ where, address string }{{"listen", config.Listen}, {"discovery", config.Discovery},
		{"store.address", config.Relay}} {
		host, port, err := net.SplitHostPort(a.address)
		if err != nil {
			return nil, &ConfigError{Where: a.where, Why: fmt.Sprintf("%q is not an address of the form host:port", a.address)}
		}
		if net.ParseIP(host) == nil {
			return nil, &ConfigError{Where: a.where, Why: fmt.Sprintf("%q is not an IP address", host)}
		}
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
			return nil, &ConfigError{Where: a.where, Why: fmt.Sprintf("%q is not a port number from 1 to 65535", port)}
		}
	}
	if config.Name == "" {
		return nil, &ConfigError{Where: "name", Why: "missing"}
	}
	if config.Cores < 0 || config.Memory < 0 || config.Sockets < 0 {
		return nil, &ConfigError{Where: "limits", Why: "negative value"}
	}
	if file.Seed != "" {
		seed, err := strconv.ParseUint(file.Seed, 16, 64)
		if err != nil {
			return nil, &ConfigError{Where: "seed", Why: fmt.Sprintf("%q is not a 64-bit hexadecimal number", file.Seed)}
		}
		config.Seed = seed
	}
	if len(file.Settings) == 0 {
		return nil, &ConfigError{Where: "settings", Why: "missing"}
	}
	settings, names, err := wire.DecodeConfig(file.Settings)
	if err != nil {
		return nil, &ConfigError{Where: "settings", Why: err.Error()}
	}
	config.Settings, config.Schema, config.Resolution = settings, codec.NewSchema(settings, names), max(1, names.Resolution)
	if len(names.Zones) == 0 || len(settings.Routes) == 0 {
		return nil, &ConfigError{Where: "settings", Why: "at least one zone and one route are required"}
	}
	return config, nil
}
