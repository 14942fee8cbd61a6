// HTTP/JSON clients of the platform's services. Each function returns an
// implementation of one interface; service_codec.h defines the message format.
//
//   POST /log/STREAM                        append
//   GET  /log/STREAM?from=N&max=M&wait_ms=W read
//   GET  /vms                               VM list
//   POST /workers/NAME/VERB                 worker command
//
// The outcome is "not sent" or "refused" only if the request certainly had no
// effect: it never left this process, the peer rejected it (status 400, 404,
// 405, 413 or 422), or the peer answered 503 with "took_effect": false. Every
// other failure, including a complete answer that can't be decoded, is
// "unknown".
#ifndef CAROBMAST_CONTRACTS_HTTP_SERVICES_H_
#define CAROBMAST_CONTRACTS_HTTP_SERVICES_H_

#include "contracts/log_service.h"
#include "contracts/vm_list.h"
#include "contracts/worker_service.h"
#include "framework/base/intrusive.h"
#include "framework/net/http_client.h"

namespace carobmast::contracts {

// Client of the log service at `address`. A read times out after the sum of its
// `wait` and its `timeout`.
LogService MakeHttpLogService(Ref<net::HttpClient> client,
                              net::Address address);

// Client of the VM list at `address`.
VmListService MakeHttpVmListService(Ref<net::HttpClient> client,
                                    net::Address address);

// Client of all worker agents. Each command is sent to its own `address`.
WorkerService MakeHttpWorkerService(Ref<net::HttpClient> client);

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_HTTP_SERVICES_H_
