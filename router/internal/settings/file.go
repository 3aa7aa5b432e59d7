package settings

import "snipetally.example/router/internal/document"

// file is the settings file as decoded from TOML. Every key is one short word.
type file struct {
	VM        vmTable        `toml:"vm"`
	Caller    callerTable    `toml:"caller"`
	Operators endpointTable  `toml:"operators"`
	Peers     peersTable     `toml:"peers"`
	Table     platformTable  `toml:"table"`
	List      platformTable  `toml:"list"`
	Objects   platformTable  `toml:"objects"`
	Log       logTable       `toml:"log"`
	Accounts  []accountTable `toml:"account"`

	Seed     string             `toml:"seed"`
	Force    string             `toml:"force"`
	Partners []document.Partner `toml:"partner"`
	Classes  []document.Class   `toml:"class"`
	Presets  []document.Preset  `toml:"preset"`
	Teams    []document.Team    `toml:"team"`
	Services []document.Service `toml:"service"`
	Servers  []document.Server  `toml:"server"`
}

type vmTable struct {
	Name   string `toml:"name"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	Linger string `toml:"linger"`
}

type endpointTable struct {
	Listen      string `toml:"listen"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

type callerTable struct {
	Listen      string `toml:"listen"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Body        int64  `toml:"body"`
	Header      int    `toml:"header"`
	Room        int64  `toml:"room"`
	Read        string `toml:"read"`
	Write       string `toml:"write"`
}

type peersTable struct {
	Listen      string   `toml:"listen"`
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	Authority   string   `toml:"authority"`
	Keys        []string `toml:"keys"`
}

type platformTable struct {
	Address string `toml:"address"`
	Timeout string `toml:"timeout"`
}

type logTable struct {
	Level string `toml:"level"`
}

type accountTable struct {
	Name    string   `toml:"name"`
	Partner string   `toml:"partner"`
	Keys    []string `toml:"keys"`
}

// defaultFile returns the default values, over which a settings file is decoded.
func defaultFile() file {
	return file{
		VM: vmTable{Linger: "10s"},
		Caller: callerTable{
			Body:   4 << 20,
			Header: 32 << 10,
			Room:   96 << 20,
			Read:   "10s",
			Write:  "20s",
		},
		Table:   platformTable{Timeout: "2s"},
		List:    platformTable{Timeout: "2s"},
		Objects: platformTable{Timeout: "5s"},
		Log:     logTable{Level: "info"},
	}
}

// plan returns the plan in the file.
func (f *file) plan() document.Plan {
	return document.Plan{
		ActivePreset: f.Force,
		Partners:     f.Partners,
		Classes:      f.Classes,
		Presets:      f.Presets,
		Teams:        f.Teams,
		Services:     f.Services,
		Servers:      f.Servers,
	}
}
