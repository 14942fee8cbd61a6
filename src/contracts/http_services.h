// The platform's services over HTTP/JSON. Each function fills the hooks of one
// contract; the format of the messages is in service_codec.h.
//
//   POST /log/STREAM                        append
//   GET  /log/STREAM?from=N&max=M&wait_ms=W read
//   GET  /vms                               VM list
//   POST /workers/NAME/VERB                 worker command
//
// An outcome says "not sent" or "refused" only when the request certainly had
// no effect: it never left this process, the peer refused it as malformed (400,
// 404, 405, 413, 422), or the peer answered 503 with "took_effect": false.
// Every other failure, a whole but unreadable answer included, is "unknown".
#ifndef CAROBMAST_CONTRACTS_HTTP_SERVICES_H_
#define CAROBMAST_CONTRACTS_HTTP_SERVICES_H_

#include "contracts/log_service.h"
#include "contracts/vm_list.h"
#include "contracts/worker_service.h"
#include "framework/base/intrusive.h"
#include "framework/net/http_client.h"

namespace carobmast::contracts {

// A read may take its `wait` on top of its `timeout`.
LogService MakeHttpLogService(Ref<net::HttpClient> client,
                              net::Address address);

VmListService MakeHttpVmListService(Ref<net::HttpClient> client,
                                    net::Address address);

// Each command goes to the address that it carries.
WorkerService MakeHttpWorkerService(Ref<net::HttpClient> client);

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_HTTP_SERVICES_H_
