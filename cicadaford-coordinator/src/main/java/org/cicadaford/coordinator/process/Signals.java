package org.cicadaford.coordinator.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system.
 *
 * <p>The JDK's class for it is not part of the platform API, so it is used by reflection.
 */
public final class Signals {

  private Signals() {}

  /** Runs {@code action} on each signal of that name, for example {@code TERM}. */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocation =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(), new Class<?>[] {handlerType}, invocation);
      Object signal = signalType.getConstructor(String.class).newInstance(name);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "signal " + name + " cannot be handled; run with the module jdk.unsupported", e);
    }
  }
}
