"""Dispatcher for sub-second tasks."""

from apricotpoint._client import Client
from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.jobs import Answer, JobRequest
from apricotpoint._wire.tasks import TaskSpec

__all__ = ["Answer", "Client", "JobRequest", "ResultCode", "TaskSpec"]
