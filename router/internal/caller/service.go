package caller

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"snipetally.example/router/internal/schedule"
)

// service handles a call to a service other than a model engine.
func (api *API) service(w http.ResponseWriter, in *inbound) *Refusal {
	name := mux.Vars(in.request)["name"]
	service, ok := in.fleet.Services[name]
	if !ok {
		return newRefusal(http.StatusNotFound, CodeService, "there is no such service")
	}
	data, refusal := api.readBody(w, in)
	if refusal != nil {
		return refusal
	}
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(in.request.URL.EscapedPath(), "/service/"+name), "/")
	if query := in.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	header := in.request.Header.Clone()
	header.Del("Authorization")
	header.Del(ClassHeader)
	return api.execute(w, in, &call{
		method:        in.request.Method,
		path:          path,
		header:        header,
		body:          data,
		service:       true,
		reportsStatus: service.ReportsStatus,
		atMostOnce:    service.AtMostOnce || in.class.AtMostOnce,
	}, schedule.Request{Service: name})
}
