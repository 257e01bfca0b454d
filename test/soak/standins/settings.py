"""What the deployments' settings and configurations have in common."""

HEARTBEAT_S = 1.5
KEY = "k3y0f0ne7enant"
HOST = "returns.example"
SERVICE = "s-returns"
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
    "ConvergeMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
    "StrictRevoke": False, "RevokeMs": 5000, "QuotaWindowS": 5,
    "QuotaBurst": 0.1, "QuotaSlack": 20, "RecoveryS": 12, "MaxHoldMs": 10000,
    "StopTimeoutMs": 400, "GangTimeoutMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "FarX": 2, "CheckpointS": 2, "RestoreMs": 100, "NoticeMs": 4500,
    "MigrateS": 1.5, "MaintenanceS": 2, "RequireFence": True,
    "LeaseMs": 3000, "ThawMs": 300, "PaceMs": 100, "HarmMs": 4000}


def route(name, prefix, attempts=3, objective_ms=600, service=SERVICE):
    return {"Name": name, "Host": HOST, "Prefix": prefix, "Kind": "mutating",
            "TimeoutMs": 3000, "SloMs": objective_ms, "Priority": 0,
            "Service": service, "Attempts": attempts, "Stretch": 1.6,
            "Public": False}


def configuration(version, routes, services=(SERVICE,), spare=None):
    names = list(services) + ([spare] if spare else [])
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz",
                          "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "EnforcesCapacity": False, "Spare": name == spare}
                         for name in names],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "t-one", "ApiKeys": [KEY], "Priority": 1,
                         "Weight": 51, "Cap": {"Cpu": 1500000,
                                               "MemMb": 2200000, "Gpu": 0}}]}
