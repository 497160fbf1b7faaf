#pragma once

namespace nutmegarch::platform_adapter {

/// A configuration in the store's format: two routes, one of them with a split, one service and the limits.
inline constexpr const char* sample_configuration = R"({"Version": 7, "Resources": [
  {"ResourceType": "Routes", "Metadata": {"Name": "r1"}, "Spec": {"Host": "a.example", "Prefix": "/p/",
   "Kind": "non_idempotent", "TimeoutMs": 1200, "TargetLatencyMs": 1500, "Priority": 0, "Service": "s1",
   "MaxAttempts": 2}},
  {"ResourceType": "Routes", "Metadata": {"Name": "r2"}, "Spec": {"Host": "b.example", "Prefix": "/",
   "Kind": "idempotent", "TimeoutMs": 0, "TargetLatencyMs": 10, "Priority": 2,
   "Split": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}], "MaxAttempts": 3}},
  {"ResourceType": "Services", "Metadata": {"Name": "s1"}, "Spec": {"MaxConnections": 322}},
  {"ResourceType": "Limits", "Metadata": {}, "Spec": {"MaxHeaderBytes": 1000, "MaxBodyBytes": 2000,
   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}]})";

}  // namespace nutmegarch::platform_adapter
