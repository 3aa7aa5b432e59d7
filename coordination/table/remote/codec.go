package remote

import "snipetally.example/coordination/table"

// The types below are the JSON bodies of the protocol. Values are in base64.
type (
	readRequest struct {
		Keys []string `json:"keys"`
	}

	listRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}

	rowsResponse struct {
		Rows []rowBody `json:"rows"`
	}

	rowBody struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}

	commitRequest struct {
		Checks []checkBody `json:"checks"`
		Writes []writeBody `json:"writes"`
	}

	checkBody struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}

	writeBody struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Remove bool   `json:"remove"`
	}
)

// encodeCommit converts a transaction to a request body.
func encodeCommit(t table.Transaction) commitRequest {
	body := commitRequest{
		Checks: make([]checkBody, 0, len(t.Checks)),
		Writes: make([]writeBody, 0, len(t.Writes)),
	}
	for _, check := range t.Checks {
		body.Checks = append(body.Checks, checkBody{Key: check.Key, Version: check.Version})
	}
	for _, write := range t.Writes {
		body.Writes = append(body.Writes, writeBody{Key: write.Key, Value: write.Value, Remove: write.Remove})
	}
	return body
}

// decodeRows converts the rows of a response body.
func decodeRows(bodies []rowBody) []table.Row {
	rows := make([]table.Row, 0, len(bodies))
	for _, body := range bodies {
		rows = append(rows, table.Row{Key: body.Key, Value: body.Value, Version: body.Version})
	}
	return rows
}
