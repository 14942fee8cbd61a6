// Shared ownership with intrusive reference counts.
#ifndef CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_
#define CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

namespace carobmast {

// Base of objects that are shared within one thread; the reference count is not
// atomic.
template <typename T>
using RefCounted =
    boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;

// Shared pointer to a RefCounted object.
template <typename T>
using Ref = boost::intrusive_ptr<T>;

// Creates a reference-counted object.
template <typename T, typename... Args>
Ref<T> MakeRef(Args&&... args) {
  return Ref<T>(new T(std::forward<Args>(args)...));
}

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_
