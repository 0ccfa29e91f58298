package cmds

import (
	"go.uber.org/zap"

	"verbenaroad.example/entry/routers/admin"
	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/entry/services/lookup"
	"verbenaroad.example/entry/services/settle"
	"verbenaroad.example/entry/services/status"
	"verbenaroad.example/share/services/store"
)

func (e *Entry) newAdminRouter() *admin.Router {
	reader := store.NewReader(e.port, store.DefaultPrefix)
	writer := store.NewWriter(e.port, reader)
	changes := change.NewService(&adoptingWriter{Writer: writer, follower: e.follower}, e.follower)
	return admin.NewRouter(admin.Options{
		Changes:         changes,
		Lookups:         lookup.NewService(reader, e.follower),
		Snapshots:       e.follower,
		Statuses:        e.newStatusService(),
		Drains:          change.NewDrainService(changes, e.instanceView),
		Explanations:    explan.NewService(e.follower, e.fleet, e.instanceView),
		Claims:          settle.NewService(e.port, e.fleet, e.log),
		BootstrapSHA256: e.settings.Admin.BootstrapSHA256,
		Log:             e.logAdminRequest,
	})
}

func (e *Entry) newStatusService() *status.Service {
	return status.NewService(status.Options{
		Self:          e.settings.Instance.Name,
		View:          e.instanceView,
		Configuration: e.follower,
		Accounts:      e.policy,
		Ready:         e.checkReady,
		Calls:         e.runner.GetCounts().GetReport,
		Results:       e.callerRouter.GetResults().GetCounts,
	})
}

func (e *Entry) logAdminRequest(event admin.Event) {
	e.log.Info("admin-request",
		zap.String("request-id", event.RequestID),
		zap.String("operator", event.Operator),
		zap.String("method", event.Method),
		zap.String("path", event.Path),
		zap.Int("status", event.Status),
		zap.Duration("took", event.Duration),
	)
}
