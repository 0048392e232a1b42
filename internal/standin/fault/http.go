package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// ReadJSON decodes the JSON body of a control call into v. On an error, an unknown
// field included, it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ReplyJSON sends v as JSON with the given status.
func ReplyJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteAnswer sends body with its Content-Length, or half of it if the stage is HalfAnswer,
// which then resets the connection, or HalfAnswerClean.
func WriteAnswer(w http.ResponseWriter, body []byte, at Stage) {
	switch at {
	case HalfAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		Abort()
	case HalfAnswerClean:
		// Without a Content-Length the response is chunked, and its end is regular.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}
