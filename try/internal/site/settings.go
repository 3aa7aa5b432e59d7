package site

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"text/template"
)

const (
	// OperatorKey is the key of the site's operator.
	OperatorKey = "operator-of-the-trial"

	// peerKey is the key that the routers share.
	peerKey = "peers-of-the-trial"
)

//go:embed settings.toml.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Funcs(template.FuncMap{"hash": HashKey}).Parse(settingsText))

// HashKey returns the SHA-256 hash of a key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamKey returns the key of a team of the site.
func TeamKey(team string) string {
	return "key-of-" + team
}

// engineSpec is the name and the model of one engine.
type engineSpec struct {
	name  string
	model string
}

// engineSpecs returns the engines: three of each partner.
func engineSpecs() []engineSpec {
	var specs []engineSpec
	for i := range 3 {
		specs = append(specs, engineSpec{fmt.Sprintf("assistant-%d", i+1), "mazungumzo"})
	}
	for i := range 3 {
		specs = append(specs, engineSpec{fmt.Sprintf("lease-%d", i+1), "bhasha"})
	}
	return specs
}

// EngineModels returns the model of each engine.
func EngineModels() []string {
	var models []string
	for _, spec := range engineSpecs() {
		models = append(models, spec.model)
	}
	return models
}

// ServiceNames returns the names of the plain services.
func ServiceNames() []string {
	return []string{"login", "plots"}
}

// RouterParams holds the name and the addresses in the settings of one router. An
// empty ObjectStoreAddress configures no object store.
type RouterParams struct {
	Name               string
	CallerAddress      string
	OperatorAddress    string
	PeerAddress        string
	TableAddress       string
	VMListAddress      string
	ObjectStoreAddress string

	// EngineAddresses and ServiceAddresses are the addresses of the backend
	// servers, in the order of EngineModels and ServiceNames.
	EngineAddresses  []string
	ServiceAddresses []string
}

// templateData is the data of the settings template.
type templateData struct {
	RouterParams

	PeerKey     string
	OperatorKey string
	Engines     []engineData
	Services    []serviceData
}

type engineData struct {
	Name    string
	Address string
	Model   string
	Partner string
}

type serviceData struct {
	Name    string
	Address string
}

// RenderSettings returns the text of a router's settings file.
func RenderSettings(params RouterParams) ([]byte, error) {
	data := templateData{RouterParams: params, PeerKey: peerKey, OperatorKey: OperatorKey}
	for i, spec := range engineSpecs() {
		partner := "kilele"
		if spec.model == "bhasha" {
			partner = "khetbhoomi"
		}
		data.Engines = append(data.Engines, engineData{Name: spec.name, Address: params.EngineAddresses[i], Model: spec.model, Partner: partner})
	}
	for i, name := range ServiceNames() {
		data.Services = append(data.Services, serviceData{Name: name, Address: params.ServiceAddresses[i]})
	}
	var out bytes.Buffer
	if err := settingsTemplate.Execute(&out, data); err != nil {
		return nil, fmt.Errorf("execute settings template: %w", err)
	}
	return out.Bytes(), nil
}

// routerSettings returns the text of the settings file of the site's router at an
// index.
func (s *Site) routerSettings(index int, callerAddress string) ([]byte, error) {
	params := RouterParams{
		Name:               fmt.Sprintf("router-%d", index+1),
		CallerAddress:      callerAddress,
		OperatorAddress:    loopback,
		PeerAddress:        loopback,
		TableAddress:       s.tableAddress,
		VMListAddress:      s.vmListAddress,
		ObjectStoreAddress: s.objectStoreAddress,
	}
	for _, engine := range s.Engines {
		params.EngineAddresses = append(params.EngineAddresses, engine.Address)
	}
	for _, service := range s.Services {
		params.ServiceAddresses = append(params.ServiceAddresses, service.Address)
	}
	return RenderSettings(params)
}
