package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// ReadJSON decodes the body of a control call; fields that are not known are
// refused. It reports whether the call goes on.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply answers with JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Answer sends body with its length, or as much of it as the stage lets through.
func Answer(w http.ResponseWriter, body []byte, at Stage) {
	switch at {
	case HalfAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		Abort()
	case HalfAnswerClean:
		// Without a length the answer is chunked, and its end looks proper.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}
